"""Serves verified bytes to the engine by HTTP range."""

from aiohttp import web

from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.weights.manifest import Manifest
from wisteriapulley.weights.swarm import Swarm

PREFIX = "/weights"


class WeightsHandlers:
    """Manifest and files of the versions that are here."""

    def __init__(self, swarm: Swarm):
        self.swarm = swarm

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.get(PREFIX + "/{version}/manifest.json", self.manifest),
            web.get(PREFIX + "/{version}/files/{path:.+}", self.file),
        ]

    def find(self, request: web.Request) -> Manifest:
        """Return the manifest that the request names."""
        manifest = self.swarm.manifests.get(request.match_info["version"])
        if manifest is None:
            raise WeightsError(ResultCode.SOURCE_UNAVAILABLE, "version is not here")
        return manifest

    async def manifest(self, request: web.Request) -> web.Response:
        """Send a manifest."""
        return web.Response(
            body=self.find(request).to_bytes(), content_type="application/json"
        )

    async def file(self, request: web.Request) -> web.Response:
        """Send a range of a file."""
        manifest = self.find(request)
        path = request.match_info["path"]
        sizes = {file.path: file.size for file in manifest.files}
        if path not in sizes:
            raise WeightsError(ResultCode.SOURCE_UNAVAILABLE, f"{path}: no such file")
        span = request.http_range
        start = span.start or 0
        end = min(span.stop if span.stop is not None else sizes[path], sizes[path])
        body = self.swarm.store.read(manifest, path, start, end)
        return web.Response(
            status=206 if request.headers.get("Range") else 200,
            body=body,
            headers={"Content-Range": f"bytes {start}-{end - 1}/{sizes[path]}"},
        )
