"""The commands of waxwingctl, one module for each."""
