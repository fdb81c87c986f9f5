"""Schedule multi-accelerator jobs under team guarantees."""
