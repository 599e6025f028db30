"""Opaque HTTP exchanges: passed on unchanged, repeated only if allowed."""
