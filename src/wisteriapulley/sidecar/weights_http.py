"""Serve verified weights to the engine by HTTP range requests."""

from aiohttp import web

from wisteriapulley.errors import ResultCode, WeightsError
from wisteriapulley.weights.manifest import Manifest
from wisteriapulley.weights.swarm import Swarm

PREFIX = "/weights"


class WeightsHandlers:
    """HTTP handlers for the manifests and files of the versions held here."""

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
            raise WeightsError(
                ResultCode.SOURCE_UNAVAILABLE, "this sidecar does not have the version"
            )
        return manifest

    async def manifest(self, request: web.Request) -> web.Response:
        """Send a manifest."""
        return web.Response(
            body=self.find(request).to_bytes(), content_type="application/json"
        )

    async def file(self, request: web.Request) -> web.StreamResponse:
        """Send a range of a file, chunk by chunk.

        If a chunk is missing, the response ends short of its length, which the
        engine detects. Bytes that are not verified are never sent.
        """
        manifest = self.find(request)
        path = request.match_info["path"]
        sizes = {file.path: file.size for file in manifest.files}
        if path not in sizes:
            raise WeightsError(
                ResultCode.SOURCE_UNAVAILABLE, f"{path}: no such file in the manifest"
            )
        start, end = byte_range(request, sizes[path])
        response = web.StreamResponse(status=206 if "Range" in request.headers else 200)
        response.content_length = end - start
        if response.status == 206:
            response.headers["Content-Range"] = f"bytes {start}-{end - 1}/{sizes[path]}"
        parts = self.swarm.store.iterate(manifest, path, start, end)
        first = next(parts, b"")
        await response.prepare(request)
        await response.write(first)
        for part in parts:
            await response.write(part)
        return response


def byte_range(request: web.Request, size: int) -> tuple[int, int]:
    """Return the start and the exclusive end of the requested byte range."""
    try:
        start, end, _ = request.http_range.indices(size)
    except ValueError as error:
        raise web.HTTPRequestRangeNotSatisfiable from error
    if "Range" in request.headers and start >= end:
        raise web.HTTPRequestRangeNotSatisfiable
    return start, end
