"""Schedule jobs, which consist of steps of tasks, on a service's workers."""
