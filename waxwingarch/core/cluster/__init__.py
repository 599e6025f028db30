"""Cluster of the entry hosts: membership, gossip and settings."""
