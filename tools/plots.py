"""Draw small plots where matplotlib is installed (optional extra ``plots``)."""

import pathlib
from collections.abc import Mapping, Sequence


def draw(name: str, series: Mapping[str, Sequence[tuple[float, float]]], folder: pathlib.Path) -> pathlib.Path | None:
    """Draw one line for each series.

    Args:
        name: Name of the file and title.
        series: Points by label; a label is ``NAME (UNIT OF X, UNIT OF Y)``.
        folder: Folder for the file.

    Returns:
        The path, or None without matplotlib.
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
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}.png"
    figure.savefig(path)
    pyplot.close(figure)
    return path
