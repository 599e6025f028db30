"""Messages between entry hosts: definitions and generated code."""
