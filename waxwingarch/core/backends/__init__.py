"""Backend servers that exchanges are sent to: who, how loaded, how sound."""
