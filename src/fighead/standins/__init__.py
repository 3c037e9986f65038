"""Stand-ins for parts of the platform, for the demo, tests and benchmarks."""
