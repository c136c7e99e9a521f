/** All executions of the call with one request id. */
export interface Booking {
  requestId: string;
  /** Number of executions; more than one is a duplicate booking. */
  runs: number;
  /** VMs that executed the call, in order of execution. */
  vms: string[];
  /** Request body of the last execution. */
  order: unknown;
}

/** Log of all executed booking calls. */
export interface BookingLog {
  addRun(requestId: string, vm: string, order: unknown): Booking;
  listBookings(): Booking[];
}

/** Creates an empty log. It accepts duplicate executions, so that tests can detect them. */
export function createBookingLog(): BookingLog {
  const bookings = new Map<string, Booking>();
  return {
    addRun(requestId, vm, order) {
      const booking = bookings.get(requestId) ?? { requestId, runs: 0, vms: [], order };
      booking.runs++;
      booking.vms.push(vm);
      booking.order = order;
      bookings.set(requestId, booking);
      return booking;
    },
    listBookings: () => [...bookings.values()],
  };
}
