"""Line plots, drawn if matplotlib is installed (optional extra ``plots``)."""

import pathlib
from collections.abc import Mapping, Sequence


def draw(
    name: str, series: Mapping[str, Sequence[tuple[float, float]]], directory: pathlib.Path
) -> pathlib.Path | None:
    """Draw one line per series and save the plot as a PNG file.

    Args:
        name: Title of the plot and file name without its suffix.
        series: Points by label; a label has the form ``NAME (UNIT OF X, UNIT OF Y)``.
        directory: Directory for the file.

    Returns:
        Path of the file, or None if matplotlib is not installed.
    """
    try:
        import matplotlib
    except ImportError:
        return None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 3), dpi=80)
    for label, points in series.items():
        axes.plot([x for x, _ in points], [y for _, y in points], marker=".", label=label)
    axes.set_title(name)
    axes.legend(fontsize="small")
    axes.grid(True, alpha=0.3)
    figure.tight_layout()
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{name}.png"
    figure.savefig(path)
    pyplot.close(figure)
    return path
