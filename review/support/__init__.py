"""Stand-ins for the platform, and the processes of a small deployment."""
