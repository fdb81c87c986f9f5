"""Run the product and the stand-ins as separate processes."""
