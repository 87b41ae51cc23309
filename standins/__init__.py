"""Stand-ins of outside systems, for demos, tests and benchmarks."""
