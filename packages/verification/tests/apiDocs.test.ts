import { readFileSync } from "node:fs";
import t from "tap";
import type { ApiCall } from "./apiFixture.js";
import { callApi, maskAnswer, startSmall } from "./apiFixture.js";

const PAGE = new URL("../../../../docs/callers.md", import.meta.url);
const EXAMPLE =
    /```http\n(GET|POST) (\S+)\nAuthorization: Bearer (\S+)\n(?:\n(.*)\n)?```\n\n```http\n(\d+)\n\n(.*)\n```/g;

// Guards against examples for callers that the API does not answer as written.
void t.test("the examples of docs/callers.md", async t => {
    const deployment = await startSmall();
    const examples = [...readFileSync(PAGE, "utf8").matchAll(EXAMPLE)];
    t.equal(examples.length, 9);
    let jobId = "";
    for (const [, method, url = "", token = "", payload, status, expected = ""] of examples) {
        const sent = payload === undefined ? {} : { payload: JSON.parse(payload) as object };
        const call: ApiCall = { method: method as "GET" | "POST", url: url.replace("JOB", jobId), token, ...sent };
        const answer = await callApi(deployment, call);
        const example = `${method ?? ""} ${url}`;
        t.equal(answer.status, Number(status), example);
        t.match(maskAnswer(answer.body), JSON.parse(expected) as object, example);
        const { jobId: submitted } = answer.body as { readonly jobId?: string; };
        jobId = submitted ?? jobId;
    }
    await deployment.stop();
});
