"""The backend servers of the routed services: registry, load and health."""
