/** Daemons that serve one customer. */
export const CUSTOMER_SET_SIZE = 4;

/** Availability zones that a customer's daemons span, if there are as many. */
export const CUSTOMER_SET_ZONES = 2;

/** Time for which a caller may use an answer. */
export const ADDRESS_LIFETIME_MS = 30_000;
