"""Entry point of ``python -m currantlead``."""

from currantlead import cli

if __name__ == "__main__":
    cli.main()
