"""A scheduler of multi-accelerator jobs with guarantees for teams."""
