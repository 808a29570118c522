"""Choose where a request runs."""
