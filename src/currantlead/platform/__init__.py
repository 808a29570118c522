"""Translation between currantlead's own types and the users' platform: settings, lines, stored objects, calls."""
