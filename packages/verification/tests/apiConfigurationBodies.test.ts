import { configurationBodySchema } from "@persimmonpitch/schema/configuration.js";
import { createSmallBody, TOKENS } from "../src/smallBody.js";
import { testMalformedBodies } from "./apiMalformedBodies.js";

// Guards against a configuration that is loaded although its schema forbids it, and against a check that throws.
testMalformedBodies("configuration", {
    method: "PUT",
    url: "/v1/admin/config",
    token: TOKENS.operator,
    headers: { "if-match": "7" },
    schema: configurationBodySchema,
    valid: [createSmallBody()],
    whenAllowed: [412, 422],
});
