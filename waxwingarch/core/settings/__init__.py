"""Settings revisions and the rows they are kept in."""
