package org.yuccagw.core.catalogue;

import org.yuccagw.core.control.ControlEvent;

/** Raised by {@link CatalogueComponent} after a catalogue with a higher revision has come into force on this entry. */
public record CatalogueChanged(Catalogue catalogue) implements ControlEvent {}
