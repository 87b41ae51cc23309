"""Components common to every process: supervision, logging of libraries and operator pages."""
