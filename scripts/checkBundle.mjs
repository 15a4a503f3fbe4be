// Runs the bundled export program against an empty store, because a bundle can lack what the tests of the sources have.
import { spawn } from "node:child_process";
import { createServer } from "node:http";
import { fileURLToPath } from "node:url";

const EMPTY_PAGE = JSON.stringify({ rows: [], has_more: false, row_version: 1, now_ms: 1 });

const store = createServer((_req, res) => {
    res.setHeader("content-type", "application/json").end(EMPTY_PAGE);
});
store.listen(0, "127.0.0.1", () => {
    const program = fileURLToPath(new URL("../target/export.mjs", import.meta.url));
    const address = `127.0.0.1:${store.address().port}`;
    const child = spawn(process.execPath, [program, "--store", address, "--team", "weavers"], { stdio: "inherit" });
    child.once("exit", code => {
        store.close();
        process.exitCode = code ?? 1;
    });
});
