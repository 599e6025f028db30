"""HTTP exchanges: passed through unchanged, resent only where allowed."""
