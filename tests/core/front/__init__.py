"""Tests of the decisions about routed exchanges."""
