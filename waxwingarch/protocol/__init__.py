"""Protocol messages between entry hosts, and the code generated for them."""
