"""Place jobs on the accelerators of cells."""
