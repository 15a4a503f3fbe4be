import { directAnswerSchema } from "@persimmonpitch/schema/apiAnswers.js";
import type { DirectAnswer } from "@persimmonpitch/schema/apiAnswers.js";
import { directRequestBodySchema } from "@persimmonpitch/schema/directRequest.js";
import { createHash } from "node:crypto";
import { err, ok } from "true-myth/result";
import { report } from "../cliMessages.js";
import type { Command, CommandResult } from "../command.js";
import { readField, readInput } from "../readInput.js";

const requestFileSchema = directRequestBodySchema.partial({ requestKey: true, body: true });

/** A caller must get the whole answer to its own request and no other, so the client checks it as well. */
const checkAnswer = (answer: DirectAnswer, requestKey: string): CommandResult => {
    if (answer.requestKey !== requestKey) {
        const data = { actual: answer.requestKey, expected: requestKey };
        return err({ kind: "wrongAnswer", findings: [report("answerOfAnother", data)] });
    }
    const digest = createHash("sha256").update(answer.body).digest("hex");
    return Buffer.byteLength(answer.body) === answer.length && digest === answer.sha256
        ? ok({ text: answer.body, json: answer })
        : err({ kind: "wrongAnswer", findings: [report("incompleteAnswer")] });
};

/** Sends a direct request and prints the answer. */
export const request: Command = {
    summary: "sends the direct request of a TOML file and prints the answer",
    args: ["SERVICE", "FILE"],
    flags: ["key", "bodyFile"],
    run: async ({ args: [service = "", file = ""], flags: { key, bodyFile }, connect }) => {
        const additions = { ...key === undefined ? {} : { requestKey: key } };
        const body = readField("body", bodyFile).andThen(field =>
            readInput(file, requestFileSchema, directRequestBodySchema, { ...additions, ...field })
        );
        if (body.isErr) {
            return err(body.error);
        }
        const api = connect();
        if (api.isErr) {
            return err(api.error);
        }
        const { idempotent, timeoutMs, requestKey } = body.value;
        const path = `/v1/services/${encodeURIComponent(service)}/requests`;
        const answer = await api.value.call(
            { method: "POST", path, body: body.value, isRepeatable: idempotent, extraMs: timeoutMs },
            directAnswerSchema,
        );
        return answer.andThen(({ value }) => checkAnswer(value, requestKey));
    },
};
