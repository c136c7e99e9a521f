/** What ran under one request id. */
export interface Booking {
  requestId: string;
  /** Times that the call ran; more than one is a double booking. */
  runs: number;
  /** VMs that ran it, in order. */
  vms: string[];
  /** Body of the newest run. */
  order: unknown;
}

/** Record of all calls that ran. */
export interface BookingLedger {
  addRun(requestId: string, vm: string, order: unknown): Booking;
  listBookings(): Booking[];
}

/** Creates the record; it does not refuse a second run, so that tests can see one. */
export function createBookingLedger(): BookingLedger {
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
