import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { CallerLimits } from "./callerLimits.js";

/** The limits that a connection can exceed or be closed for; the names are those of the settings. */
export type LimitName = Exclude<keyof CallerLimits, "headersTimeoutMs" | "requestTimeoutMs">;

export interface CallerAccountsOptions {
    readonly limits: CallerLimits;
    readonly logger: Logger;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}

interface AddressAccount {
    readonly connections: Set<CallerConnection>;
    heldBytes: number;
}

/** A request that counts as unanswered until it ends. */
export interface RequestTurn {
    /** Resolves when all earlier requests of the connection have ended, or the connection has closed. */
    readonly ready: Promise<void>;
    readonly end: () => void;
}

/** What becomes of a new request: it gets a turn, it is refused, or its connection has been closed. */
export type Admission =
    | { readonly kind: "admitted"; readonly turn: RequestTurn; }
    | { readonly kind: "refused" | "closed"; };

const findLargest = <T>(items: Iterable<T>, sizeOf: (item: T) => number): T | undefined => {
    let largest: { readonly item: T; readonly size: number; } | undefined;
    for (const item of items) {
        const size = sizeOf(item);
        if (largest === undefined || size > largest.size) {
            largest = { item, size };
        }
    }
    return largest?.item;
};

/**
 * Accounts for what callers occupy, without regard to the transport. If a limit is exceeded, it closes the connections
 * that have cost most and sent least. Addresses the load of many connections with bodies that never end or with
 * requests whose responses are not read.
 */
export class CallerAccounts {
    /** Connections closed and requests refused since the start, by limit. */
    readonly shedCounts = new Map<LimitName, number>();
    private readonly connections = new Set<CallerConnection>();
    private readonly byAddress = new Map<string, AddressAccount>();
    private heldBytes = 0;
    private unanswered = 0;
    private currentLimits: CallerLimits;

    constructor(private readonly options: CallerAccountsOptions) {
        this.currentLimits = options.limits;
    }

    get limits(): CallerLimits {
        return this.currentLimits;
    }

    setLimits(limits: CallerLimits): void {
        this.currentLimits = limits;
    }

    get totals(): { readonly connections: number; readonly unanswered: number; readonly heldBytes: number; } {
        return { connections: this.connections.size, unanswered: this.unanswered, heldBytes: this.heldBytes };
    }

    /** Registers a connection; `destroy` closes it. It may be closed at once if no other one can be. */
    connect(address: string, destroy: () => void): CallerConnection {
        const connection = new CallerConnection(this, address, destroy);
        const account = this.byAddress.get(address) ?? { connections: new Set(), heldBytes: 0 };
        this.byAddress.set(address, account);
        account.connections.add(connection);
        this.connections.add(connection);
        if (account.connections.size > this.limits.maxConnectionsPerAddress) {
            this.shedSilent(account.connections, "maxConnectionsPerAddress");
        }
        if (this.connections.size > this.limits.maxConnections) {
            this.shedSilent(this.largestAddress(), "maxConnections");
        }
        return connection;
    }

    /** Counts a request; called by its connection. */
    admit(connection: CallerConnection): "admitted" | "refused" | "closed" {
        if (connection.unanswered >= this.limits.maxUnansweredPerConnection) {
            this.shed(connection, "maxUnansweredPerConnection");
        }
        else if (this.unanswered >= this.limits.maxUnanswered) {
            const most = findLargest(this.connections, ({ unanswered }) => unanswered);
            if (most === undefined || most.unanswered <= 1) {
                this.count(connection, "maxUnanswered");
                return "refused";
            }
            this.shed(most, "maxUnanswered");
        }
        if (!connection.isOpen) {
            return "closed";
        }
        this.unanswered += 1;
        return "admitted";
    }

    endRequest(): void {
        this.unanswered -= 1;
    }

    /** Counts bytes that a connection holds, and closes the costliest ones while a limit is exceeded. */
    hold(connection: CallerConnection, bytes: number): void {
        const account = this.byAddress.get(connection.address);
        if (account === undefined) {
            return;
        }
        this.heldBytes += bytes;
        account.heldBytes += bytes;
        if (connection.heldBytes > this.limits.maxHeldBytesPerConnection) {
            this.shed(connection, "maxHeldBytesPerConnection");
        }
        while (account.heldBytes > this.limits.maxHeldBytesPerAddress && account.connections.size > 0) {
            this.shedHolder(account.connections, "maxHeldBytesPerAddress");
        }
        while (this.heldBytes > this.limits.maxHeldBytes && this.connections.size > 0) {
            this.shedHolder(this.connections, "maxHeldBytes");
        }
    }

    release({ address, heldBytes }: CallerConnection): void {
        this.heldBytes -= heldBytes;
        const account = this.byAddress.get(address);
        if (account !== undefined) {
            account.heldBytes -= heldBytes;
        }
    }

    remove(connection: CallerConnection): void {
        this.connections.delete(connection);
        const account = this.byAddress.get(connection.address);
        account?.connections.delete(connection);
        if (account?.connections.size === 0) {
            this.byAddress.delete(connection.address);
        }
    }

    now(): number {
        return this.options.now();
    }

    private largestAddress(): ReadonlySet<CallerConnection> {
        return findLargest(this.byAddress.values(), ({ connections }) => connections.size)?.connections
            ?? this.connections;
    }

    /** Closes the connection that has been silent longest and has no request that is being processed. */
    private shedSilent(candidates: ReadonlySet<CallerConnection>, limit: LimitName): void {
        this.shedLargest(candidates, limit, ({ silentMs }) => silentMs);
    }

    /** Closes the connection whose bodies cost most for what it sent, and for the time that it has been silent. */
    private shedHolder(candidates: ReadonlySet<CallerConnection>, limit: LimitName): void {
        this.shedLargest(
            candidates,
            limit,
            ({ heldBytes, receivedBytes, silentMs }) =>
                heldBytes * (heldBytes / Math.max(1, receivedBytes)) * (silentMs + 1),
        );
    }

    private shedLargest(
        candidates: ReadonlySet<CallerConnection>,
        limit: LimitName,
        costOf: (connection: CallerConnection) => number,
    ): void {
        // The outcome of a request that is being processed would be unknown to its caller.
        const victim = findLargest(candidates, connection => connection.isProcessing ? -1 : costOf(connection));
        if (victim !== undefined) {
            this.shed(victim, limit);
        }
    }

    private shed(connection: CallerConnection, limit: LimitName): void {
        this.count(connection, limit);
        connection.destroy();
    }

    private count({ address, heldBytes, receivedBytes, unanswered }: CallerConnection, limit: LimitName): void {
        const total = (this.shedCounts.get(limit) ?? 0) + 1;
        this.shedCounts.set(limit, total);
        this.options.logger.log("warn", "caller.limited", {
            limit,
            address,
            heldBytes,
            receivedBytes,
            unanswered,
            total,
        });
    }
}

/** What one connection of a caller occupies. Its requests are processed one after the other. */
export class CallerConnection {
    isOpen = true;
    /** Cost of the body that is held. */
    heldBytes = 0;
    /** Bytes of that body that were received. */
    receivedBytes = 0;
    /** Whether a request has been received whole and has not been answered. */
    isProcessing = false;
    private lastReceivedAt: number;
    private readonly requests = new Set<() => void>();
    private lastRequest: Promise<void> = Promise.resolve();

    constructor(
        private readonly accounts: CallerAccounts,
        readonly address: string,
        private readonly destroyTransport: () => void,
    ) {
        this.lastReceivedAt = accounts.now();
    }

    get unanswered(): number {
        return this.requests.size;
    }

    get silentMs(): number {
        return this.accounts.now() - this.lastReceivedAt;
    }

    beginRequest(): Admission {
        const kind = this.isOpen ? this.accounts.admit(this) : "closed";
        if (kind !== "admitted") {
            return { kind };
        }
        this.lastReceivedAt = this.accounts.now();
        const ready = this.lastRequest;
        let resolveEnded: () => void = () => undefined;
        this.lastRequest = new Promise(resolve => {
            resolveEnded = resolve;
        });
        const end = () => {
            if (this.requests.delete(end)) {
                this.accounts.endRequest();
                this.isProcessing = false;
                this.release();
                resolveEnded();
            }
        };
        this.requests.add(end);
        return { kind, turn: { ready, end } };
    }

    /** Counts the cost of a part of a body, until its request ends. */
    hold(cost: number, received: number): void {
        if (this.isOpen) {
            this.heldBytes += cost;
            this.receivedBytes += received;
            this.lastReceivedAt = this.accounts.now();
            this.accounts.hold(this, cost);
        }
    }

    /** Ends the account when the transport has closed. */
    close(): void {
        if (!this.isOpen) {
            return;
        }
        this.isOpen = false;
        this.release();
        this.accounts.remove(this);
        [...this.requests].forEach(end => {
            end();
        });
    }

    destroy(): void {
        this.close();
        this.destroyTransport();
    }

    private release(): void {
        this.accounts.release(this);
        this.heldBytes = 0;
        this.receivedBytes = 0;
    }
}
