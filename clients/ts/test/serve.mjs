// Serves the example page and the built client on the loopback interface, for manual use and for the browser test.
import { createServer } from "node:http";
import { readFile } from "node:fs/promises";
import { join, normalize, extname } from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const types = { ".html": "text/html", ".js": "text/javascript", ".ts": "text/plain" };

export function serve(port = 0) {
  return new Promise(resolve => {
    const server = createServer(async (req, res) => {
      const path = normalize(new URL(req.url, "http://x").pathname);
      try {
        if (!path.startsWith("/example/") && !path.startsWith("/dist/")) throw new Error("not found");
        const body = await readFile(join(root, path));
        res.writeHead(200, { "Content-Type": types[extname(path)] ?? "application/octet-stream" }).end(body);
      } catch { res.writeHead(404).end(); }
    });
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  const server = await serve(8088);
  console.log(`http://127.0.0.1:${server.address().port}/example/index.html?fronts=ws://HOST:PORT&title=TITLE&product=PRODUCT`);
}
