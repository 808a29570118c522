"""Tests of currantlead."""
