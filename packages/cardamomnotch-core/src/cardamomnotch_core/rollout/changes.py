"""Configuration changes made by a rollout."""

import attrs

from ..configuration.changes import IncrementalChange, apply_change
from ..configuration.models import Configuration, Model, Version


@attrs.frozen(kw_only=True)
class RolloutShareChange(IncrementalChange):
    """Increase the traffic share of a version in rollout.

    Has no effect if the share is no longer ``from_share``, because an
    operator or another entry has already changed it.
    """

    version: str
    from_share: float
    to_share: float


@apply_change.register
def _(change: RolloutShareChange, configuration: Configuration) -> Configuration:
    model_name, _, version_name = change.version.partition("/")

    def with_new_share(version: Version) -> Version:
        if version.name != version_name or version.rollout_share != change.from_share:
            return version
        return attrs.evolve(version, rollout_share=change.to_share)

    def with_new_version(model: Model) -> Model:
        if model.name != model_name:
            return model
        versions = tuple(with_new_share(item) for item in model.versions)
        return attrs.evolve(model, versions=versions)

    models = tuple(with_new_version(item) for item in configuration.models)
    return attrs.evolve(configuration, models=models)
