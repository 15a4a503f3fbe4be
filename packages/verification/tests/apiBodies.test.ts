import { directRequestBodySchema } from "@persimmonpitch/schema/directRequest.js";
import { jobRequestSchema } from "@persimmonpitch/schema/job.js";
import { TOKENS } from "../src/smallBody.js";
import { jobBody, requestBody, REQUESTS_URL } from "./apiFixture.js";
import type { BodyRoute } from "./apiMalformedBodies.js";
import { testMalformedBodies } from "./apiMalformedBodies.js";

const ROUTES: Readonly<Record<string, BodyRoute>> = {
    jobs: {
        method: "POST",
        url: "/v1/jobs",
        token: TOKENS.alpha,
        schema: jobRequestSchema,
        valid: [jobBody("key", { neededBy: 1_764_000_100_000, checkpointable: true }), jobBody("other")],
        whenAllowed: [202],
    },
    requests: {
        method: "POST",
        url: REQUESTS_URL,
        token: TOKENS.alpha,
        schema: directRequestBodySchema,
        valid: [requestBody("key"), requestBody("once", { idempotent: false })],
        whenAllowed: [404],
        allowedUrl: "/v1/services/none/requests",
    },
};

// Guards against a 500, and against a body that is accepted although its schema forbids it.
for (const [name, route] of Object.entries(ROUTES)) {
    testMalformedBodies(name, route);
}
