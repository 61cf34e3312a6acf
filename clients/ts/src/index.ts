/**
 * Client for players of gullrail's session API over WebSocket (subprotocol gullrail.session.v1, docs/wire-session.md). As the
 * protocol requires, it has one pending request per title and product, honors retry delays and adds jitter to them, and resumes
 * by ticket and cursor after a disconnect, at the same front or at another one.
 */

export const subprotocol = "gullrail.session.v1";

export interface Rung { rung: number; id: string; bits: number }

/** What may be fetched now: base + rung's id + "/" + segment number from 1 + ".m4s". */
export interface Grant {
  play: string; token: string; base: string; title: string;
  rungs: Rung[]; segment_ms: number; seconds?: number;
}

export interface Want {
  title: string;
  product: string;
  /** Highest rung that this player can use. */
  top?: number;
  /** Time limit of the answer. */
  limitMs?: number;
  lengthMs?: number;
  /** Number of retries after a refusal or failure. */
  tries?: number;
}

export interface Options {
  /** Fronts as ws:// or wss:// URLs without a path, in the order in which they are tried. */
  fronts: string[];
  viewer: string;
  /** WebSocket class, for environments without a global one. */
  WebSocket?: new (url: string, protocols: string) => WebSocket;
  /** The first reconnection is delayed by a random part of this many milliseconds (2000 if not set), as a failed front disconnects all its players at once. */
  herdMs?: number;
}

/**
 * A change of a play. rung: the rungs that may be fetched have changed. moved: the play continues at another node. away: the play
 * has no node, and the client requests another one. ended: the play has ended.
 */
export type PlayEvent =
  | { type: "rung" | "moved"; grant: Grant }
  | { type: "away" | "ended"; why: string };

/** Error of a request that was answered without a play. */
export class Refused extends Error {
  constructor(readonly verdict: string, readonly why: string, readonly comeBackMs: number) { super(`${verdict}: ${why}`); }
}

const minRetryDelayMs = 200;      // before the first retry; doubled for each further one, with jitter
const maxRetryDelayMs = 5000;
const answerGraceMs = 2000;       // a front that has not answered this long after the time limit is taken for failed
const defaultTimeoutMs = 30000;   // time limit where Want has none
const stableConnectionMs = 10000; // after a connection of this duration the retry delay starts at its minimum again

interface Message {
  type: string; ticket?: string; cursor?: number; verdict?: string; why?: string; come_back_ms?: number; grant?: Grant;
}

type State = "waiting" | "pending" | "playing" | "ended";

/** A request, and the play that results from it. */
export class Play {
  /** @internal */ state: State = "waiting";
  /** @internal */ ticket = "";
  /** @internal */ front = -1;
  /** @internal */ cursor = 0;
  /** @internal */ previousToken = "";
  /** @internal */ notDelivered = false;
  /** @internal */ retriesLeft: number;
  /** @internal */ timer?: ReturnType<typeof setTimeout>;
  /** @internal */ started = false;
  /** @internal */ listeners: ((e: PlayEvent) => void)[] = [];
  private currentGrant?: Grant;

  /** @internal */
  constructor(private readonly client: Client, readonly want: Want,
    /** @internal */ readonly settle: (err?: Error) => void) { this.retriesLeft = want.tries ?? 0; }

  /** What may be fetched now. */
  get grant(): Grant { return this.currentGrant!; }
  /** @internal */ setGrant(g: Grant) { this.currentGrant = g; }
  /** Calls listener with each change from now on. */
  onEvent(listener: (e: PlayEvent) => void) { this.listeners.push(listener); }
  /** Reports to the front that the node does not deliver. The play is moved to another node; a "moved" event follows. */
  reportBroken() { if (this.state === "playing") this.client.send({ type: "report", ticket: this.ticket, broken: true }); }
  /** Ends the play or withdraws the request for it. */
  leave() { this.client.endPlay(this); }
}

/** One viewer with one socket, which is open while there are plays or requests. */
export class Client {
  private socket?: WebSocket;
  private plays: Play[] = [];
  private frontIndex = 0;
  private failures = 0;
  private retryAfterMs = 0;
  private openedAt = 0;
  private dialTimer?: ReturnType<typeof setTimeout>;
  private closed = false;

  constructor(private readonly options: Options) {
    if (options.fronts.length === 0) throw new Error("fronts: at least one is required");
  }

  /** Requests a play. Rejects with Refused when no retries are left. */
  ask(want: Want): Promise<Play> {
    if (this.closed) return Promise.reject(new Error("closed"));
    if (this.plays.some(p => p.state !== "playing" && p.want.title === want.title && p.want.product === want.product)) {
      return Promise.reject(new Refused("denied", "a request for the same title and product is pending", 0));
    }
    return new Promise((resolve, reject) => {
      const p: Play = new Play(this, want, err => err ? reject(err) : resolve(p));
      this.plays.push(p);
      if (this.socket?.readyState === 1) this.request(p); else this.scheduleDial(0);
    });
  }

  /** Ends all plays and closes the socket. */
  close() {
    this.closed = true;
    for (const p of [...this.plays]) this.endPlay(p);
    clearTimeout(this.dialTimer);
    this.socket?.close(1000);
  }

  /** @internal */
  send(m: object) { if (this.socket?.readyState === 1) this.socket.send(JSON.stringify(m)); }

  /** @internal */
  endPlay(p: Play) {
    if (p.state === "ended") return;
    if (p.state !== "waiting") this.send({ type: "bye", ticket: p.ticket });
    this.end(p, "left", new Error("left"));
    if (this.plays.length === 0) this.socket?.close(1000);
  }

  private end(p: Play, why: string, err: Error) {
    if (p.state === "ended") return;
    p.state = "ended";
    clearTimeout(p.timer);
    this.plays = this.plays.filter(other => other !== p);
    if (!p.started) p.settle(err);
    this.emit(p, { type: "ended", why });
  }

  private emit(p: Play, e: PlayEvent) { for (const listener of p.listeners) listener(e); }

  private scheduleDial(delayMs: number) {
    if (this.dialTimer !== undefined || this.socket !== undefined || this.closed) return;
    this.dialTimer = setTimeout(() => {
      this.dialTimer = undefined;
      if (this.plays.length === 0 || this.closed) return;
      const WebSocketClass = this.options.WebSocket ?? WebSocket;
      const front = this.frontIndex;
      const socket = new WebSocketClass(`${this.options.fronts[front]}/v1/session?viewer=${encodeURIComponent(this.options.viewer)}`, subprotocol);
      this.socket = socket;
      this.openedAt = 0;
      socket.onopen = () => {
        this.openedAt = Date.now();
        for (const p of [...this.plays]) this.resume(p, front);
      };
      socket.onmessage = e => this.handle(JSON.parse(String(e.data)) as Message);
      socket.onerror = () => { /* onclose follows */ };
      socket.onclose = () => this.handleClose(front);
    }, delayMs);
  }

  private handleClose(front: number) {
    const connected = this.openedAt > 0;
    if (connected && Date.now() - this.openedAt >= stableConnectionMs) this.failures = 0;
    this.socket = undefined;
    this.frontIndex = (front + 1) % this.options.fronts.length;
    if (this.plays.length === 0 || this.closed) return;
    let delay = jitter(Math.min(maxRetryDelayMs, minRetryDelayMs * 2 ** Math.min(this.failures, 8)));
    if (this.retryAfterMs > 0) delay = this.retryAfterMs;
    else if (connected && this.failures === 0) delay = Math.random() * (this.options.herdMs ?? 2000);
    this.retryAfterMs = 0;
    this.failures++;
    this.scheduleDial(delay);
  }

  /** Sends the message by which a play or request continues on a new socket. */
  private resume(p: Play, front: number) {
    switch (p.state) {
      case "playing": this.send({ type: "resume", ticket: p.ticket, cursor: p.cursor, token: p.grant.token }); break;
      case "pending":
        if (p.front === front) this.send({ type: "resume", ticket: p.ticket, cursor: p.cursor }); // the front may have the answer
        else this.request(p);
        break;
      case "waiting": if (p.timer === undefined) this.request(p); break;
    }
  }

  private request(p: Play) {
    clearTimeout(p.timer);
    p.timer = undefined;
    if (this.socket?.readyState !== 1) { p.state = "waiting"; this.scheduleDial(0); return; }
    p.state = "pending"; p.ticket = newTicketId(); p.cursor = 0; p.front = this.frontIndex;
    const m: Record<string, unknown> = { type: "ask", ticket: p.ticket, title: p.want.title, product: p.want.product, viewer: this.options.viewer };
    if (p.want.top !== undefined) m.top = p.want.top;
    if (p.want.limitMs) m.limit_ms = p.want.limitMs;
    if (p.want.lengthMs) m.length_ms = p.want.lengthMs;
    if (p.previousToken) { m.token = p.previousToken; if (p.notDelivered) m.broken = true; }
    this.send(m);
    p.timer = setTimeout(() => { // the front is taken for failed
      p.timer = undefined;
      this.retry(p, new Refused("failed", "no answer within the time limit", 0));
      this.socket?.close(4000);
    }, (p.want.limitMs ?? defaultTimeoutMs) + answerGraceMs);
  }

  private retry(p: Play, refusal: Refused) {
    clearTimeout(p.timer);
    if (--p.retriesLeft < 0) { this.end(p, refusal.message, refusal); return; }
    let delay = jitter(Math.min(maxRetryDelayMs, minRetryDelayMs * 2 ** Math.min((p.want.tries ?? 0) - p.retriesLeft, 8)));
    if (refusal.comeBackMs > 0) delay = refusal.comeBackMs * (1 + Math.random() / 4);
    p.state = "waiting";
    p.timer = setTimeout(() => { p.timer = undefined; this.request(p); }, delay);
  }

  private handle(m: Message) {
    if (m.type === "bye") { this.retryAfterMs = m.come_back_ms ?? 0; return; }
    const p = this.plays.find(play => play.ticket !== "" && play.ticket === m.ticket);
    if (!p) return;
    if (m.cursor) {
      if (m.cursor <= p.cursor) return; // a duplicate
      p.cursor = m.cursor;
      this.send({ type: "ack", ticket: p.ticket, cursor: m.cursor });
    }
    switch (m.type) {
      case "answer":
        clearTimeout(p.timer);
        p.timer = undefined;
        if (m.grant) {
          const moved = p.started && m.grant.play !== p.grant.play;
          p.setGrant(m.grant);
          p.state = "playing"; p.previousToken = ""; p.notDelivered = false; p.retriesLeft = p.want.tries ?? 0;
          if (!p.started) { p.started = true; p.settle(); }
          else this.emit(p, { type: moved ? "moved" : "rung", grant: m.grant });
        } else this.retry(p, new Refused(m.verdict ?? "failed", m.why ?? "", m.come_back_ms ?? 0));
        break;
      case "rung": p.setGrant(m.grant!); this.emit(p, { type: "rung", grant: m.grant! }); break;
      case "moved":
      case "unknown": // the node was lost, or the front has failed: request another node with the token
        if (p.state === "playing") {
          p.previousToken = p.grant.token;
          this.emit(p, { type: "away", why: m.why ?? m.type });
        }
        this.request(p);
        break;
      case "ended": this.end(p, m.why ?? "ended", new Refused("failed", "ended", 0)); break;
      case "taken": this.end(p, "taken over by another socket", new Error("taken over by another socket")); break;
      case "error":
        if (p.state === "pending") { p.previousToken = ""; this.retry(p, new Refused("denied", m.why ?? "", 0)); }
        break;
    }
  }
}

/** Returns a random time between ms / 2 and ms. */
function jitter(ms: number): number { return ms / 2 + Math.random() * ms / 2; }

function newTicketId(): string {
  const b = crypto.getRandomValues(new Uint8Array(18));
  return btoa(String.fromCharCode(...b)).replaceAll("+", "-").replaceAll("/", "_");
}
