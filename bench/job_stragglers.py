"""Loads in which some runs take much longer than others of their kind."""

from dataclasses import replace
from random import Random
from typing import Final

from msgspec import structs

from bench.job_load import LoadShape
from bench.job_load import small_shape
from bench.job_load import Submission
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.task import TaskKey

STRAGGLER_FACTOR: Final = 7.0
"""How many times as long a straggler takes as other runs of its kind."""

MAX_ESTIMATE_ERROR: Final = 1.9
"""Largest factor by which all estimates of a kind are too high or too low."""


def straggler_shape(name: str = 'stragglers') -> LoadShape:
    """Return the small fleet with steady demand, images and stragglers."""
    return replace(
        small_shape(name),
        peak=1.2,
        valley=0.9,
        images=3,
        copied_share=0.3,
        straggler_share=0.03,
    )


def add_images(
    shape: LoadShape, submissions: list[Submission], seed: int
) -> list[Submission]:
    """Return the submissions with images, estimates by kind, and copies.

    A kind is an image of a workspace. All steps of a job are of one kind, and
    either all of them allow copies or none does.
    """
    if not shape.images:
        return submissions
    random = Random(f'{seed} images')
    return [add_image(shape, s, random) for s in submissions]


def add_image(
    shape: LoadShape, submission: Submission, random: Random
) -> Submission:
    """Return a submission with an image, its estimate, and perhaps copies."""
    job = submission.job
    image = f'{job.queue}-{random.randrange(shape.images)}'
    error = estimate_error(job.workspace, image)
    is_speculative = random.random() < shape.copied_share
    steps = tuple(
        structs.replace(
            step,
            image=image,
            estimate_ms=int(submission.task_s * 1000 * error),
            is_speculative=is_speculative,
        )
        for step in job.spec.steps
    )
    spec = structs.replace(job.spec, steps=steps)
    return replace(submission, job=structs.replace(job, spec=spec))


def estimate_error(workspace: WorkspaceId, image: str) -> float:
    """Return by what factor the estimates of a kind are too high."""
    exponent = Random(f'{workspace} {image}').uniform(-1, 1)
    return float(MAX_ESTIMATE_ERROR**exponent)


def run_factor(shape: LoadShape, task: TaskKey, run_number: int) -> float:
    """Return how many times as long a run takes as others of its kind."""
    if not shape.straggler_share:
        return 1.0
    draw = Random(f'{task.name} {run_number}').random()
    return STRAGGLER_FACTOR if draw < shape.straggler_share else 1.0
