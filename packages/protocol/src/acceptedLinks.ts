import type { Socket } from "node:net";
import { SocketLink } from "./socketLink.js";

/** Limits on the links of one listening process. */
export interface AcceptedLinkLimits {
    readonly maxLinks: number;
    readonly maxHeldBytes: number;
}

/** Above the number of processes in the largest installation; 32 MB leave the smallest VM most of its memory. */
export const DEFAULT_LINK_LIMITS: AcceptedLinkLimits = { maxLinks: 2_048, maxHeldBytes: 32_000_000 };

/**
 * Bounds the links that a process has accepted. Over the limit for links, the oldest one that has never sent a whole
 * frame is closed; over the limit for bytes, the one that holds most.
 */
export class AcceptedLinks {
    private readonly links = new Set<SocketLink>();
    private chunksSinceCheck = 0;

    constructor(private readonly limits: AcceptedLinkLimits = DEFAULT_LINK_LIMITS) {}

    accept(socket: Socket): SocketLink {
        const link = new SocketLink(socket, () => {
            this.checkHeldBytes();
        });
        this.links.add(link);
        socket.once("close", () => {
            this.links.delete(link);
        });
        if (this.links.size > this.limits.maxLinks) {
            const silent = [...this.links].find(({ hasReceived }) => !hasReceived) ?? link;
            this.drop(silent);
        }
        return link;
    }

    /** Computes the total once for as many received chunks as there are links, so the cost of a chunk is constant. */
    private checkHeldBytes(): void {
        this.chunksSinceCheck += 1;
        if (this.chunksSinceCheck < this.links.size) {
            return;
        }
        this.chunksSinceCheck = 0;
        const links = [...this.links].sort((a, b) => b.heldBytes - a.heldBytes);
        let total = links.reduce((sum, { heldBytes }) => sum + heldBytes, 0);
        for (const link of links) {
            if (total <= this.limits.maxHeldBytes) {
                return;
            }
            total -= link.heldBytes;
            this.drop(link);
        }
    }

    private drop(link: SocketLink): void {
        this.links.delete(link);
        link.close();
    }
}
