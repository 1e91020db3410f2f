"""Runs a stand-in as a process: python -m tests.stand_ins KIND PORT [ARG...]."""

import sys

import orjson
from aiohttp import web

from .engine import EngineStandIn
from .plain_service import PlainServiceStandIn
from .rating import RatingStandIn
from .store import StoreStandIn
from .vm_list import VmListStandIn
from .weight_store import WeightStoreStandIn

_KINDS = {
    "engine": EngineStandIn,
    "plain_service": PlainServiceStandIn,
    "rating": RatingStandIn,
    "store": StoreStandIn,
    "vm_list": VmListStandIn,
    "weight_store": WeightStoreStandIn,
}


def main() -> None:
    """Serve a stand-in on loopback.

    The arguments are its kind, its port and the JSON-encoded arguments of
    its class.
    """
    kind, port, *rest = sys.argv[1:]
    arguments = [orjson.loads(text) for text in rest]

    async def create() -> web.Application:
        return _KINDS[kind](*arguments).create_app()

    web.run_app(create(), host="127.0.0.1", port=int(port), access_log=None, print=None)


if __name__ == "__main__":
    main()
