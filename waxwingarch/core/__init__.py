"""Pure decisions: no I/O, no clock, no global random source."""
