"""Settings revisions and the table rows that store them."""
