"""Adapters between the users' platform and waxwingarch's own types.

The platform of the contract node is another one: its adapters are in
`waxwingarch.adapters.platform`.
"""
