"""Shared test set-up: fixed seeds, and more examples for fuzzing."""

import os

import hypothesis

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60)
hypothesis.settings.register_profile("fuzz", deadline=None, max_examples=2000)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
