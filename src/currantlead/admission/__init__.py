"""Admit requests within the rate and the fair share of an organisation."""
