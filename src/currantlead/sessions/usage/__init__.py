"""Usage reports: counts of the requests that ran, by organisation and window, and their report to the platform."""
