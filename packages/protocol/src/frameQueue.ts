/** Frames that have arrived and wait for the task that reads them. */
export class FrameQueue implements AsyncIterable<string> {
    private readonly waiting: string[] = [];
    private isEnded = false;
    private notify: (() => void) | undefined;

    push(frame: string): void {
        this.waiting.push(frame);
        this.notify?.();
    }

    end(): void {
        this.isEnded = true;
        this.notify?.();
    }

    async *[Symbol.asyncIterator](): AsyncIterator<string> {
        for (;;) {
            for (let frame = this.waiting.shift(); frame !== undefined; frame = this.waiting.shift()) {
                yield frame;
            }
            if (this.isEnded) {
                return;
            }
            await new Promise<void>(resolve => {
                this.notify = resolve;
            });
            this.notify = undefined;
        }
    }
}
