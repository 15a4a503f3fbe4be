import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { withTimeout } from "@persimmonpitch/clock/deadline.js";
import {
    createJSONRPCErrorResponse,
    JSONRPCClient,
    JSONRPCErrorCode,
    JSONRPCServer,
    JSONRPCServerAndClient,
} from "json-rpc-2.0";
import { Result } from "true-myth";
import type { Link } from "./link.js";
import type { HandlerTable, MethodTable, ParamsOf, ResultOf } from "./method.js";

/** Why a call returned no result. */
export type CallError =
    /** The call was not sent. */
    | { readonly kind: "notSent"; readonly detail: string; }
    /** The call was sent, but its outcome is unknown: it may have taken effect on the peer. */
    | { readonly kind: "unclear"; readonly detail: string; };

/** Options of a connection. */
export interface ConnectionOptions<Local extends MethodTable, Remote extends MethodTable> {
    readonly link: Link;
    readonly clock: Clock;
    /** Methods that this side serves. */
    readonly local: Local;
    /** Methods that the peer serves. */
    readonly remote: Remote;
    readonly handlers: HandlerTable<Local>;
    /** Called for each received message that is not valid JSON-RPC or does not match the schemas. */
    readonly onMalformed?: (detail: string) => void;
}

/**
 * The link is closed when more calls of the peer than this are in progress. Reading cannot wait for them, because the
 * responses to own calls come over the same link. The busiest links have some hundred.
 */
const MAX_CALLS_IN_PROGRESS = 4_096;

/** Typed JSON-RPC calls in both directions over one link. */
export class Connection<Local extends MethodTable, Remote extends MethodTable> {
    private readonly rpc: JSONRPCServerAndClient;
    private readonly link: Link;
    private readonly clock: Clock;
    private readonly remote: Remote;
    private readonly onMalformed: (detail: string) => void;
    private callsInProgress = 0;

    constructor(options: ConnectionOptions<Local, Remote>) {
        this.link = options.link;
        this.clock = options.clock;
        this.remote = options.remote;
        this.onMalformed = options.onMalformed ?? (() => undefined);
        // The owner of the connection reports failures of handlers; the default listener writes them to the console.
        const server = new JSONRPCServer({ errorListener: () => undefined });
        for (const name of Object.keys(options.local)) {
            this.registerMethod(server, name, options.local, options.handlers);
        }
        const client = new JSONRPCClient((payload: unknown) => {
            this.link.send(JSON.stringify(payload));
        });
        this.rpc = new JSONRPCServerAndClient(server, client, { errorListener: () => undefined });
    }

    get isOpen(): boolean {
        return this.link.isOpen;
    }

    /** Bytes sent over the link so far, before encryption. */
    get bytesSent(): number {
        return this.link.bytesSent;
    }

    /** Serves the peer until the link closes; calls that are still pending then end as `unclear`. */
    async run(): Promise<void> {
        for await (const frame of this.link.frames()) {
            this.handleFrame(frame);
        }
        this.rpc.rejectAllPendingRequests("The connection closed.");
    }

    close(): void {
        this.link.close();
    }

    /** Calls a method of the peer and waits at most `timeoutMs` for the response. */
    async call<Name extends keyof Remote & string>(
        name: Name,
        params: ParamsOf<Remote[Name]>,
        timeoutMs: Millis,
    ): Promise<Result<ResultOf<Remote[Name]>, CallError>> {
        const method = this.remote[name];
        if (!this.link.isOpen || method === undefined) {
            return Result.err({ kind: "notSent", detail: "The connection is closed." });
        }
        const response = Promise.resolve(this.rpc.request(name, params)).then(
            (value: unknown) => ({ ok: true as const, value }),
            (err: unknown) => ({ ok: false as const, detail: err instanceof Error ? err.message : String(err) }),
        );
        const outcome = await withTimeout(this.clock, timeoutMs, response);
        if (outcome.kind === "timeout") {
            return Result.err({ kind: "unclear", detail: `No answer to ${name} within ${timeoutMs} ms.` });
        }
        if (!outcome.value.ok) {
            return Result.err({ kind: "unclear", detail: outcome.value.detail });
        }
        const parsed = method.result.safeParse(outcome.value.value);
        return parsed.success
            ? Result.ok(parsed.data as ResultOf<Remote[Name]>)
            : Result.err({ kind: "unclear", detail: `The answer to ${name} does not match its schema.` });
    }

    private registerMethod(server: JSONRPCServer, name: string, local: Local, handlers: HandlerTable<Local>): void {
        server.addMethodAdvanced(name, async request => {
            const parsed = local[name]?.params.safeParse(request.params);
            if (parsed?.success !== true) {
                const detail = `Parameters of ${name} do not match their schema.`;
                this.onMalformed(detail);
                return createJSONRPCErrorResponse(request.id ?? null, JSONRPCErrorCode.InvalidParams, detail);
            }
            const result = await handlers[name as keyof Local](parsed.data as ParamsOf<Local[keyof Local]>);
            return { jsonrpc: "2.0", id: request.id ?? null, result: result as unknown };
        });
    }

    private handleFrame(frame: string): void {
        const payload = parseJson(frame);
        if (typeof payload !== "object" || payload === null) {
            this.onMalformed("A frame is not a JSON object.");
            return;
        }
        if (this.callsInProgress >= MAX_CALLS_IN_PROGRESS) {
            this.onMalformed(`More than ${MAX_CALLS_IN_PROGRESS} calls of the peer are in progress.`);
            this.link.close();
            return;
        }
        this.callsInProgress += 1;
        // Handlers run concurrently, so a slow one does not block the connection.
        this.rpc.receiveAndSend(payload as Parameters<JSONRPCServerAndClient["receiveAndSend"]>[0]).catch(
            (err: unknown) => {
                this.onMalformed(err instanceof Error ? err.message : String(err));
            },
        ).finally(() => {
            this.callsInProgress -= 1;
        });
    }
}

const parseJson = (frame: string): unknown => {
    try {
        return JSON.parse(frame);
    }
    catch {
        return undefined;
    }
};
