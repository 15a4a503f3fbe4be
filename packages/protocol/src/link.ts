/** A bidirectional channel that delivers text frames in order until either side closes it. */
export interface Link {
    /** Whether the link still accepts frames. */
    readonly isOpen: boolean;
    /** Bytes sent so far; over a socket this includes the frame headers. */
    readonly bytesSent: number;
    /** Sends one frame; a frame on a closed link is dropped. */
    send(frame: string): void;
    /** Returns the frames received from the peer; the iteration ends when the link closes. */
    frames(): AsyncIterable<string>;
    close(): void;
}
