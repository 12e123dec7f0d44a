"""Scheduling decisions that both front ends share."""
