"""Schedule jobs made of steps of tasks over the workers of a service."""
