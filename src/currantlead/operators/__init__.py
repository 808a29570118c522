"""Command language for operators: parsing, execution and the console."""
