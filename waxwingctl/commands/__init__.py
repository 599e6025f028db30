"""The commands of waxwingctl, a module each."""
