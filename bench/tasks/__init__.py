"""Play streams of jobs of steps of tasks against the decisions alone."""
